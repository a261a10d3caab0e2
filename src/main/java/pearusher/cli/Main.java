package pearusher.cli;

import pearusher.policy.FaastPolicy;
import pearusher.server.AssignerProcess;

/**
 * Entry point of the process. The two commands that the platform starts without options bypass the
 * command line parser: its initialization takes longer than the assigner needs to start listening.
 */
public final class Main {
  private Main() {}

  /** Runs a command and exits with its status. */
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
