package pearusher.cli;

import pearusher.policy.FaastPolicy;
import pearusher.server.AssignerProcess;

/**
 * The process. The two commands that the platform starts, without options, go past the command
 * tree: it costs a start more time than the assigner needs to listen.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    if (args.length == 1 && "serve".equals(args[0])) {
      System.exit(AssignerProcess.run(System.getenv(), FaastPolicy::new));
    }
    if (args.length == 1 && "adapter".equals(args[0])) {
      System.exit(SimulatorCommand.run());
    }
    System.exit(CommandLineRunner.run(args));
  }
}
