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

/** Runs the assigner as a server. */
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
  private Path settingsFile;

  @Override
  public Integer call() {
    try {
      return serve(
          settingsFile == null ? OperatorSettings.none() : OperatorSettings.read(settingsFile));
    } catch (InvalidSettingsException e) {
      e.faults().forEach(fault -> System.err.println("pearusher: " + fault));
      return CommandLineRunner.USAGE;
    }
  }

  private static int serve(OperatorSettings settings) {
    OptionalFeatures features =
        new OptionalFeatures(
            settings.isEnabled("store")
                ? Optional.of(persistenceOptions(settings))
                : Optional.empty(),
            settings.isEnabled("intake") ? Optional.of(intakeBounds(settings)) : Optional.empty());
    return AssignerProcess.run(System.getenv(), FaastPolicy::new, features);
  }

  private static Intake.Bounds intakeBounds(OperatorSettings settings) {
    return new Intake.Bounds(
        settings.number(SettingKey.INTAKE_BUDGET),
        (int) settings.number(SettingKey.INTAKE_CALM),
        (int) settings.number(SettingKey.INTAKE_PLACE),
        (long) settings.number(SettingKey.INTAKE_OVER),
        (long) settings.number(SettingKey.INTAKE_OLDEST),
        settings.text(SettingKey.INTAKE_SAMPLE).equals("on"),
        System.nanoTime());
  }

  private static PersistenceOptions persistenceOptions(OperatorSettings settings) {
    StoreOptions options =
        new StoreOptions(
            StoreOptions.Policy.valueOf(upperCase(settings, SettingKey.STORE_SYNC)),
            (long) settings.number(SettingKey.STORE_INTERVAL),
            (long) settings.number(SettingKey.STORE_SEGMENT),
            (long) settings.number(SettingKey.STORE_COMPACT_AT),
            settings.number(SettingKey.STORE_COMPACT_TIMES),
            StoreOptions.Damage.valueOf(upperCase(settings, SettingKey.STORE_DAMAGE)));
    return new PersistenceOptions(
        Path.of(settings.text(SettingKey.STORE_DIRECTORY)),
        options,
        (long) settings.number(SettingKey.STORE_PATIENCE),
        (long) settings.number(SettingKey.STORE_ALIVE),
        (long) settings.number(SettingKey.STORE_TRUST));
  }

  private static String upperCase(OperatorSettings settings, SettingKey key) {
    return settings.text(key).toUpperCase(Locale.ROOT);
  }
}
