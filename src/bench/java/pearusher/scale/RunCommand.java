package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command that starts an assigner of a build, as configured in deploy/balancer.toml. */
record RunCommand(Path root, String command) {
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run\\s*=\\s*\"(.*?)\"");
  private static final String JAR_OPTION = " -jar ";
  private static final String DEFAULT_JAR = "target/pearusher.jar";

  /**
   * Reads the command of a build.
   *
   * @param jar replaces the jar of the build; null to use the jar of the build
   * @param flags JVM flags that are added last and so override the flags of the build
   */
  static RunCommand fromBuild(Path root, Path jar, String flags) throws IOException {
    String text = Files.readString(root.resolve("deploy").resolve("balancer.toml"));
    Matcher matcher = RUN_LINE.matcher(text);
    if (!matcher.find()) {
      throw new IOException("no run line in " + root.resolve("deploy").resolve("balancer.toml"));
    }
    String command = matcher.group(1);
    int jarOptionStart = command.indexOf(JAR_OPTION);
    if (jarOptionStart < 0) {
      throw new IOException(
          "expected '-jar' in the run line of deploy/balancer.toml, got: " + command);
    }
    if (!flags.isBlank()) {
      command =
          command.substring(0, jarOptionStart)
              + " "
              + flags.strip()
              + command.substring(jarOptionStart);
    }
    if (jar != null) {
      command = command.replace(DEFAULT_JAR, jar.toAbsolutePath().toString());
    }
    return new RunCommand(root, command);
  }
}
