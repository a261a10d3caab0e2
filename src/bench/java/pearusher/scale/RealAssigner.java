package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/** A real assigner: its endpoints, files, current process and traffic counter. */
final class RealAssigner {
  private final AssignerConfigWriter.Endpoints endpoints;
  private final TrafficCounter traffic;
  private final Path directory;
  private final Map<String, String> environment;
  private AssignerProcess process;

  RealAssigner(
      AssignerConfigWriter.Endpoints endpoints,
      TrafficCounter traffic,
      Path directory,
      Map<String, String> environment) {
    this.endpoints = endpoints;
    this.traffic = traffic;
    this.directory = directory;
    this.environment = environment;
  }

  int number() {
    return endpoints.number();
  }

  InetSocketAddress listenAddress() {
    return endpoints.listen();
  }

  TrafficCounter traffic() {
    return traffic;
  }

  /** Returns the process that was started last; null before the first start. */
  AssignerProcess process() {
    return process;
  }

  /**
   * Starts a process and waits until it answers a ping. Returns false if it ends or does not answer
   * in time.
   */
  boolean start(RunCommand runCommand, double timeoutSeconds)
      throws IOException, InterruptedException {
    process = AssignerProcess.start(runCommand, directory, endpoints.listen(), environment);
    return process.awaitPong(timeoutSeconds);
  }
}
