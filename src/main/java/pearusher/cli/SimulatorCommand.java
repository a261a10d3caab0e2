package pearusher.cli;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import pearusher.policy.FaastPolicy;
import pearusher.simulator.SimulatorLoop;
import pearusher.simulator.SimulatorProtocolException;
import picocli.CommandLine.Command;

/** Runs the simulator protocol on standard input and output. */
@Command(
    name = "adapter",
    description = {
      "Answer the simulator's batches of events.",
      "Reads batches on standard input, writes one reply each on standard output."
    })
final class SimulatorCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return run();
  }

  static int run() {
    try (BufferedInputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in));
        FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
      new SimulatorLoop(FaastPolicy::new).run(in, out);
    } catch (SimulatorProtocolException | IOException e) {
      System.err.println("pearusher: " + e.getMessage());
      return CommandLineRunner.FAILED;
    }
    return 0;
  }
}
