package pearusher.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import pearusher.operatorsettings.InvalidSettingsException;
import pearusher.operatorsettings.OperatorSettings;
import pearusher.operatorsettings.SettingsFault;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The operators' settings file. */
@Command(
    name = "settings",
    description = "Check a settings file, or show what is in force.",
    subcommands = {SettingsCommand.Check.class, SettingsCommand.Show.class})
final class SettingsCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "'settings' needs 'check' or 'show'");
  }

  /** Checks a file as the start does. */
  @Command(
      name = "check",
      description = {
        "Check a settings file, with the same code as the start.",
        "Faults are a line each, file:line:column: key: what is wrong; status 2 then."
      })
  static final class Check implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The settings file.")
    private Path file;

    @Option(names = "--json", description = "Write the faults as a JSON array.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      List<SettingsFault> faults = List.of();
      try {
        OperatorSettings.read(file);
      } catch (InvalidSettingsException e) {
        faults = e.faults();
      }
      PrintWriter out = spec.commandLine().getOut();
      if (json) {
        List<SettingsFault> all = faults;
        JsonOutput.write(out, to -> array(to, all));
      } else {
        faults.forEach(out::println);
        out.println(faults.isEmpty() ? file + ": good" : faults.size() + " faults");
      }
      out.flush();
      return faults.isEmpty() ? 0 : CommandLineRunner.USAGE;
    }

    private static void array(JsonGenerator to, List<SettingsFault> faults) throws IOException {
      to.writeStartArray();
      for (SettingsFault one : faults) {
        to.writeStartObject();
        to.writeStringField("file", one.file());
        to.writeNumberField("line", one.line());
        to.writeNumberField("column", one.column());
        to.writeStringField("key", one.key());
        to.writeStringField("text", one.text());
        to.writeEndObject();
      }
      to.writeEndArray();
    }
  }

  /** Shows every value. */
  @Command(name = "show", description = "Show every value in force and where it comes from.")
  static final class Show implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(
        paramLabel = "FILE",
        arity = "0..1",
        description = "The settings file; without one, what holds with none.")
    private Path file;

    @Option(names = "--json", description = "Write the values as a JSON object.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      OperatorSettings settings = OperatorSettings.none();
      try {
        settings = file == null ? settings : OperatorSettings.read(file);
      } catch (InvalidSettingsException e) {
        e.faults().forEach(spec.commandLine().getErr()::println);
        return CommandLineRunner.USAGE;
      }
      PrintWriter out = spec.commandLine().getOut();
      List<OperatorSettings.Value> values = settings.inForce();
      if (json) {
        JsonOutput.write(
            out,
            to -> {
              to.writeStartObject();
              for (OperatorSettings.Value one : values) {
                to.writeObjectFieldStart(one.key().path());
                to.writeStringField("value", one.text());
                to.writeStringField("from", one.from());
                to.writeStringField("what", one.key().help());
                to.writeEndObject();
              }
              to.writeEndObject();
            });
      } else {
        out.printf("%-20s %-24s %s%n", "key", "value", "from");
        values.forEach(v -> out.printf("%-20s %-24s %s%n", v.key().path(), v.text(), v.from()));
      }
      out.flush();
      return 0;
    }
  }
}
