package pearusher.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import pearusher.control.Keeping;
import pearusher.intake.Intake;
import pearusher.operatorsettings.FaultyException;
import pearusher.operatorsettings.Key;
import pearusher.operatorsettings.Settings;
import pearusher.policy.Rules;
import pearusher.server.Extras;
import pearusher.server.Serve;
import pearusher.store.Options;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The assigner on sockets. */
@Command(
    name = "serve",
    description = {
      "Run the assigner.",
      "The platform's side is told by EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG."
    })
final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "The operators' own settings; without them all that they switch on is off.")
  private Path settings;

  @Override
  public Integer call() {
    Settings read = Settings.none();
    try {
      read = settings == null ? read : Settings.read(settings);
    } catch (FaultyException e) {
      e.faults().forEach(fault -> System.err.println("pearusher: " + fault));
      return Cli.USAGE;
    }
    return Serve.run(
        System.getenv(),
        Rules::new,
        new Extras(
            read.on("store") ? keeping(read) : null, read.on("intake") ? bounds(read) : null));
  }

  private static Intake.Bounds bounds(Settings from) {
    return new Intake.Bounds(
        from.number(Key.INTAKE_BUDGET),
        (int) from.number(Key.INTAKE_CALM),
        (int) from.number(Key.INTAKE_PLACE),
        (long) from.number(Key.INTAKE_OVER),
        (long) from.number(Key.INTAKE_OLDEST),
        from.word(Key.INTAKE_SAMPLE).equals("on"),
        System.nanoTime());
  }

  private static Keeping keeping(Settings from) {
    Options options =
        new Options(
            Options.Policy.valueOf(upper(from, Key.STORE_SYNC)),
            (long) from.number(Key.STORE_INTERVAL),
            (long) from.number(Key.STORE_SEGMENT),
            (long) from.number(Key.STORE_COMPACT_AT),
            from.number(Key.STORE_COMPACT_TIMES),
            Options.Damage.valueOf(upper(from, Key.STORE_DAMAGE)));
    return new Keeping(
        Path.of(from.word(Key.STORE_DIRECTORY)),
        options,
        (long) from.number(Key.STORE_PATIENCE),
        (long) from.number(Key.STORE_ALIVE),
        (long) from.number(Key.STORE_TRUST));
  }

  private static String upper(Settings from, Key key) {
    return from.word(key).toUpperCase(Locale.ROOT);
  }
}
