package pearusher.cli;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import pearusher.policy.Rules;
import pearusher.simulator.Loop;
import pearusher.simulator.WireException;
import picocli.CommandLine.Command;

/** The module on the simulator's wire. */
@Command(
    name = "adapter",
    description = {
      "Answer the simulator's batches of events.",
      "Reads batches on standard input, writes one reply each on standard output."
    })
final class AdapterCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return run();
  }

  static int run() {
    try (BufferedInputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in));
        FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
      new Loop(Rules::new).run(in, out);
    } catch (WireException | IOException e) {
      System.err.println("pearusher: " + e.getMessage());
      return Cli.FAILED;
    }
    return 0;
  }
}
