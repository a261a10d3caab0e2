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

/** Commands on the operators' settings file. */
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

  /** Validates a file with the code that also runs at the start of the assigner. */
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
      List<SettingsFault> faults = faultsOf(file);
      PrintWriter out = spec.commandLine().getOut();
      if (json) {
        writeJson(out, faults);
      } else {
        faults.forEach(out::println);
        out.println(faults.isEmpty() ? file + ": good" : faults.size() + " faults");
      }
      out.flush();
      return faults.isEmpty() ? 0 : CommandLineRunner.USAGE;
    }

    private static List<SettingsFault> faultsOf(Path file) {
      try {
        OperatorSettings.read(file);
        return List.of();
      } catch (InvalidSettingsException e) {
        return e.faults();
      }
    }

    private static void writeJson(PrintWriter out, List<SettingsFault> faults) throws IOException {
      JsonOutput.write(
          out,
          json -> {
            json.writeStartArray();
            for (SettingsFault fault : faults) {
              writeFault(json, fault);
            }
            json.writeEndArray();
          });
    }

    private static void writeFault(JsonGenerator json, SettingsFault fault) throws IOException {
      json.writeStartObject();
      json.writeStringField("file", fault.file());
      json.writeNumberField("line", fault.line());
      json.writeNumberField("column", fault.column());
      json.writeStringField("key", fault.key());
      json.writeStringField("text", fault.text());
      json.writeEndObject();
    }
  }

  /** Shows the effective value of every key. */
  @Command(name = "show", description = "Show every value in force and where it comes from.")
  static final class Show implements Callable<Integer> {
    private static final String ROW = "%-20s %-24s %s%n";

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
      try {
        show(file == null ? OperatorSettings.none() : OperatorSettings.read(file));
        return 0;
      } catch (InvalidSettingsException e) {
        e.faults().forEach(spec.commandLine().getErr()::println);
        return CommandLineRunner.USAGE;
      }
    }

    private void show(OperatorSettings settings) throws IOException {
      PrintWriter out = spec.commandLine().getOut();
      if (json) {
        writeJson(out, settings.effectiveValues());
      } else {
        writeTable(out, settings.effectiveValues());
      }
      out.flush();
    }

    private static void writeJson(PrintWriter out, List<OperatorSettings.Value> values)
        throws IOException {
      JsonOutput.write(
          out,
          json -> {
            json.writeStartObject();
            for (OperatorSettings.Value value : values) {
              writeValue(json, value);
            }
            json.writeEndObject();
          });
    }

    private static void writeValue(JsonGenerator json, OperatorSettings.Value value)
        throws IOException {
      json.writeObjectFieldStart(value.key().path());
      json.writeStringField("value", value.text());
      json.writeStringField("from", value.from());
      json.writeStringField("what", value.key().help());
      json.writeEndObject();
    }

    private static void writeTable(PrintWriter out, List<OperatorSettings.Value> values) {
      out.printf(ROW, "key", "value", "from");
      values.forEach(value -> out.printf(ROW, value.key().path(), value.text(), value.from()));
    }
  }
}
