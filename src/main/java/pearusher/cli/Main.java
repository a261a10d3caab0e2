package pearusher.cli;

import pearusher.policy.Rules;
import pearusher.server.Serve;

/**
 * The process. The two commands that the platform starts, without options, go past the command
 * tree: it costs a start more time than the assigner needs to listen.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    if (args.length == 1 && "serve".equals(args[0])) {
      System.exit(Serve.run(System.getenv(), Rules::new));
    }
    if (args.length == 1 && "adapter".equals(args[0])) {
      System.exit(AdapterCommand.run());
    }
    System.exit(Cli.run(args));
  }
}
