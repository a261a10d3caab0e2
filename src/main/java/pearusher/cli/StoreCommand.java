package pearusher.cli;

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

/** A store's directory, closed or in use. */
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

  /** What all of them share. */
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

    static void write(PrintWriter out, boolean json, Map<String, Object> fields)
        throws IOException {
      if (json) {
        JsonOutput.write(
            out,
            to -> {
              to.writeStartObject();
              for (Map.Entry<String, Object> one : fields.entrySet()) {
                if (one.getValue() instanceof Number n) {
                  to.writeNumberField(one.getKey(), n.longValue());
                } else {
                  to.writeStringField(one.getKey(), one.getValue().toString());
                }
              }
              to.writeEndObject();
            });
      } else {
        fields.forEach((k, v) -> out.printf("%-12s %s%n", k, v));
      }
      out.flush();
    }
  }

  /** What a directory holds. */
  @Command(name = "inspect", description = "Tell what the directory holds; it may be in use.")
  static final class Inspect extends OnDirectory {
    @Option(names = "--json", description = "Write a JSON object.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      Inspection found = Inspection.of(disk());
      write(out(), json, found.fields());
      return 0;
    }
  }

  /** Whether all of it can be read. */
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
      Inspection found = Inspection.of(disk());
      write(out(), json, found.fields());
      return found.damage().isEmpty() ? 0 : CommandLineRunner.FAILED;
    }
  }

  /** All keys and values. */
  @Command(name = "dump", description = "Write every key and value, in the order of the keys.")
  static final class Dump extends OnDirectory {
    @Option(names = "--json", description = "Write a JSON object; values as hexadecimal digits.")
    private boolean json;

    @Option(names = "--prefix", paramLabel = "TEXT", description = "Only keys that begin so.")
    private String prefix = "";

    @Override
    public Integer call() throws IOException {
      Map<String, byte[]> all = new TreeMap<>(Inspection.of(disk()).state());
      all.keySet().removeIf(k -> !k.startsWith(prefix));
      if (json) {
        JsonOutput.write(
            out(),
            to -> {
              to.writeStartObject();
              for (Map.Entry<String, byte[]> one : all.entrySet()) {
                to.writeStringField(one.getKey(), HexFormat.of().formatHex(one.getValue()));
              }
              to.writeEndObject();
            });
      } else {
        all.forEach((k, v) -> out().println(k + " = " + shown(v)));
        out().flush();
      }
      return 0;
    }

    /** Text where it is text. */
    private static String shown(byte[] value) {
      for (byte b : value) {
        if (b < 32) {
          return "0x" + HexFormat.of().formatHex(value);
        }
      }
      return new String(value, StandardCharsets.US_ASCII);
    }
  }

  /** One checkpoint in place of all logs. */
  @Command(
      name = "compact",
      description = "Fold the logs of a store that is not in use into one checkpoint.")
  static final class Compact extends OnDirectory {
    @Override
    public Integer call() throws IOException {
      try (Store store = Store.open(disk(), StoreOptions.DEFAULT)) {
        long before = store.logBytes();
        store.compact(store.seal());
        out().println("compacted " + before + " bytes of log");
        out().flush();
      }
      return 0;
    }
  }

  /** A copy, of an open store too. */
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
      FileDisk into = new FileDisk(to);
      into.createDirectory();
      out().println("copied up to record " + StoreCopy.write(disk(), into));
      out().flush();
      return 0;
    }
  }

  /** A copy put in place. */
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
      FileDisk into = disk();
      into.createDirectory();
      out().println("restored up to record " + StoreCopy.write(new FileDisk(from), into));
      out().flush();
      return 0;
    }
  }
}
