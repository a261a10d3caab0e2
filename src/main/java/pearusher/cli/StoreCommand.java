package pearusher.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import pearusher.store.FileDisk;
import pearusher.store.Inspection;
import pearusher.store.Store;
import pearusher.store.StoreCopy;
import pearusher.store.StoreOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands on the directory of a store, which must not be in use unless a command allows it. */
@Command(
    name = "store",
    description = "Look at a store, check, compact, copy and restore it.",
    subcommands = {
      StoreCommand.Inspect.class,
      StoreCommand.Verify.class,
      StoreCommand.Dump.class,
      StoreCommand.Compact.class,
      StoreCommand.Backup.class,
      StoreCommand.Restore.class
    })
final class StoreCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "'store' needs a command, such as 'inspect'");
  }

  /** Base class of the commands on the directory of a store. */
  abstract static class OnDirectory implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "DIRECTORY", description = "The store's directory.")
    private Path directory;

    FileDisk disk() {
      return new FileDisk(directory);
    }

    PrintWriter out() {
      return spec.commandLine().getOut();
    }

    void println(String line) {
      out().println(line);
      out().flush();
    }

    static void writeFields(PrintWriter out, boolean asJson, Map<String, Object> fields)
        throws IOException {
      if (asJson) {
        writeJson(out, fields);
      } else {
        fields.forEach((name, value) -> out.printf("%-12s %s%n", name, value));
      }
      out.flush();
    }

    private static void writeJson(PrintWriter out, Map<String, Object> fields) throws IOException {
      JsonOutput.write(
          out,
          json -> {
            json.writeStartObject();
            for (Map.Entry<String, Object> field : fields.entrySet()) {
              writeField(json, field.getKey(), field.getValue());
            }
            json.writeEndObject();
          });
    }

    private static void writeField(JsonGenerator json, String name, Object value)
        throws IOException {
      if (value instanceof Number number) {
        json.writeNumberField(name, number.longValue());
      } else {
        json.writeStringField(name, value.toString());
      }
    }
  }

  /** Shows a summary of the contents of a store, which may be in use. */
  @Command(name = "inspect", description = "Tell what the directory holds; it may be in use.")
  static final class Inspect extends OnDirectory {
    @Option(names = "--json", description = "Write a JSON object.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      Inspection inspection = Inspection.of(disk());
      writeFields(out(), json, inspection.fields());
      return 0;
    }
  }

  /** Checks whether all confirmed records of a store can be read. */
  @Command(
      name = "verify",
      description = {
        "Read all of a store as a start would, and change nothing.",
        "Status 1 if what was confirmed can't be read."
      })
  static final class Verify extends OnDirectory {
    @Option(names = "--json", description = "Write a JSON object.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      Inspection inspection = Inspection.of(disk());
      writeFields(out(), json, inspection.fields());
      return inspection.damage().isEmpty() ? 0 : CommandLineRunner.FAILED;
    }
  }

  /** Writes all keys and values of a store. */
  @Command(name = "dump", description = "Write every key and value, in the order of the keys.")
  static final class Dump extends OnDirectory {
    private static final int FIRST_PRINTABLE = 32;

    @Option(names = "--json", description = "Write a JSON object; values as hexadecimal digits.")
    private boolean json;

    @Option(names = "--prefix", paramLabel = "TEXT", description = "Only keys that begin so.")
    private String prefix = "";

    @Override
    public Integer call() throws IOException {
      Map<String, byte[]> entries = new TreeMap<>(Inspection.of(disk()).state());
      entries.keySet().removeIf(key -> !key.startsWith(prefix));
      if (json) {
        writeJson(out(), entries);
      } else {
        entries.forEach((key, value) -> out().println(key + " = " + format(value)));
        out().flush();
      }
      return 0;
    }

    private static void writeJson(PrintWriter out, Map<String, byte[]> entries) throws IOException {
      JsonOutput.write(
          out,
          json -> {
            json.writeStartObject();
            for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
              json.writeStringField(entry.getKey(), HexFormat.of().formatHex(entry.getValue()));
            }
            json.writeEndObject();
          });
    }

    /** Returns the value as text if all its bytes are printable, or else in hexadecimal. */
    private static String format(byte[] value) {
      for (byte character : value) {
        if (character < FIRST_PRINTABLE) {
          return "0x" + HexFormat.of().formatHex(value);
        }
      }
      return new String(value, StandardCharsets.US_ASCII);
    }
  }

  /** Replaces the logs of a store by one checkpoint. */
  @Command(
      name = "compact",
      description = "Fold the logs of a store that is not in use into one checkpoint.")
  static final class Compact extends OnDirectory {
    @Override
    public Integer call() throws IOException {
      try (Store store = Store.open(disk(), StoreOptions.DEFAULT)) {
        long logBytes = store.logBytes();
        store.compact(store.seal());
        println("compacted " + logBytes + " bytes of log");
      }
      return 0;
    }
  }

  /** Copies a store, which may be in use. */
  @Command(
      name = "backup",
      description = {
        "Copy a store, in use or not, to an empty directory.",
        "The copy is marked: whoever starts from it sends whole tables, since later orders may be"
            + " out."
      })
  static final class Backup extends OnDirectory {
    @Parameters(
        index = "1",
        paramLabel = "TO",
        description = "An empty directory, or one to be made.")
    private Path to;

    @Override
    public Integer call() throws IOException {
      FileDisk target = new FileDisk(to);
      target.createDirectory();
      println("copied up to record " + StoreCopy.write(disk(), target));
      return 0;
    }
  }

  /** Restores a store from a backup. */
  @Command(
      name = "restore",
      description = {
        "Put a backup in a store's place.",
        "The directory must be empty: move the old store away first."
      })
  static final class Restore extends OnDirectory {
    @Option(names = "--from", paramLabel = "BACKUP", required = true, description = "The backup.")
    private Path from;

    @Override
    public Integer call() throws IOException {
      FileDisk target = disk();
      target.createDirectory();
      println("restored up to record " + StoreCopy.write(new FileDisk(from), target));
      return 0;
    }
  }
}
