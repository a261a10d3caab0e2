package pearusher.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import pearusher.control.PersistenceOptions;
import pearusher.intake.Intake;
import pearusher.operatorsettings.InvalidSettingsException;
import pearusher.operatorsettings.OperatorSettings;
import pearusher.operatorsettings.SettingKey;
import pearusher.policy.FaastPolicy;
import pearusher.server.AssignerProcess;
import pearusher.server.OptionalFeatures;
import pearusher.store.StoreOptions;
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
    OperatorSettings read = OperatorSettings.none();
    try {
      read = settings == null ? read : OperatorSettings.read(settings);
    } catch (InvalidSettingsException e) {
      e.faults().forEach(fault -> System.err.println("pearusher: " + fault));
      return CommandLineRunner.USAGE;
    }
    return AssignerProcess.run(
        System.getenv(),
        FaastPolicy::new,
        new OptionalFeatures(
            read.isEnabled("store") ? Optional.of(keeping(read)) : Optional.empty(),
            read.isEnabled("intake") ? Optional.of(bounds(read)) : Optional.empty()));
  }

  private static Intake.Bounds bounds(OperatorSettings from) {
    return new Intake.Bounds(
        from.number(SettingKey.INTAKE_BUDGET),
        (int) from.number(SettingKey.INTAKE_CALM),
        (int) from.number(SettingKey.INTAKE_PLACE),
        (long) from.number(SettingKey.INTAKE_OVER),
        (long) from.number(SettingKey.INTAKE_OLDEST),
        from.word(SettingKey.INTAKE_SAMPLE).equals("on"),
        System.nanoTime());
  }

  private static PersistenceOptions keeping(OperatorSettings from) {
    StoreOptions options =
        new StoreOptions(
            StoreOptions.Policy.valueOf(upper(from, SettingKey.STORE_SYNC)),
            (long) from.number(SettingKey.STORE_INTERVAL),
            (long) from.number(SettingKey.STORE_SEGMENT),
            (long) from.number(SettingKey.STORE_COMPACT_AT),
            from.number(SettingKey.STORE_COMPACT_TIMES),
            StoreOptions.Damage.valueOf(upper(from, SettingKey.STORE_DAMAGE)));
    return new PersistenceOptions(
        Path.of(from.word(SettingKey.STORE_DIRECTORY)),
        options,
        (long) from.number(SettingKey.STORE_PATIENCE),
        (long) from.number(SettingKey.STORE_ALIVE),
        (long) from.number(SettingKey.STORE_TRUST));
  }

  private static String upper(OperatorSettings from, SettingKey key) {
    return from.word(key).toUpperCase(Locale.ROOT);
  }
}
