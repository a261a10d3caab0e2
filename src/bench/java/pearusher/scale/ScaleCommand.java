package pearusher.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** The scale run's command line. Exit status: 0 done, 1 a limit was met, 2 used wrongly. */
@Command(name = "scale", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Run assigners, real and hollow, at a size, on loopback, and measure them.")
final class ScaleCommand implements Callable<Integer> {
    static final int LIMIT = 1;
    static final int USAGE = 2;

    @Option(names = "--run", paramLabel = "FILE", description = "A run description, `key value` a line; "
            + "options of the command line win over it.")
    private Path file;

    @Option(names = "--root", defaultValue = ".", description = "The build that is measured.")
    private Path root;

    @Option(names = "--jar", description = "Its jar, in place of the run line's.")
    private Path jar;

    @Option(names = "--flags", defaultValue = "", description = "Flags of the virtual machine, which win over "
            + "the run line's.")
    private String flags;

    @Option(names = "--json", description = "File for the figures as JSON.")
    private Path json;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private ScaleCommand() { }

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        CommandLine line = new CommandLine(new ScaleCommand());
        for (RunKey key : RunKey.values()) {
            line.getCommandSpec().addOption(CommandLine.Model.OptionSpec.builder("--" + key.key())
                    .type(String.class).paramLabel("N").description(key.meaning() + " (" + key.standard() + ")")
                    .build());
        }
        line.setParameterExceptionHandler((e, args) -> {
            e.getCommandLine().getErr().println("scale: " + e.getMessage());
            return USAGE;
        });
        line.setExecutionExceptionHandler((e, at, parsed) -> {
            at.getErr().println("scale: " + e);
            return LIMIT;
        });
        return line;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        RunLine line = RunLine.read(root.toAbsolutePath().normalize(), jar, flags);
        ScaleRun.Outcome outcome = new ScaleRun(description(), line).execute();
        outcome.report().print(System.out);
        if (json != null) {
            outcome.report().writeJson(json);
        }
        return outcome.reached() ? 0 : LIMIT;
    }

    private RunDescription description() {
        try {
            RunDescription out = RunDescription.standard();
            out = file == null ? out : out.withFile(file);
            for (RunKey key : RunKey.values()) {
                String value = spec.findOption("--" + key.key()).getValue();
                out = value == null ? out : out.with(key.key(), value);
            }
            return out;
        } catch (RunDescription.Fault e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }
}
