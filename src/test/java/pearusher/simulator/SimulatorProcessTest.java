package pearusher.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The real adapter process, and what the module's text must keep. */
class SimulatorProcessTest {
  /** Lines of a decision module that are not blank. */
  private static final int MAX_MODULE_LINES = 250;

  @TempDir Path dir;

  private record End(int status, byte[] out, String err) {}

  private End run(byte[] in, String... args) throws Exception {
    List<String> command =
        Stream.concat(
                Stream.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    "pearusher.cli.Main"),
                Stream.of(args))
            .toList();
    Path out = dir.resolve("out");
    Path err = dir.resolve("err");
    ProcessBuilder how = new ProcessBuilder(command);
    Process p = how.redirectOutput(out.toFile()).redirectError(err.toFile()).start();
    try (OutputStream to = p.getOutputStream()) {
      to.write(in);
    } catch (java.io.IOException closed) {
      assertTrue(args.length != 1, "the adapter closed its input: " + closed);
    }
    return new End(
        p.waitFor(), Files.readAllBytes(out), Files.readString(err, StandardCharsets.UTF_8));
  }

  @Test
  void badUsageExitsTwo() throws Exception {
    assertEquals(2, run(new byte[0]).status());
    End end = run(new byte[0], "sidecar");
    assertEquals(2, end.status());
    assertTrue(end.err().contains("Usage: pearusher"), end.err());
  }

  @Test
  void endOfInputBetweenFramesExitsZero() throws Exception {
    End end =
        run(
            BatchWriter.frame(
                1, "0f0300", BatchWriter.hello(BatchWriter.SETTINGS), BatchWriter.list()),
            "adapter");
    assertEquals(0, end.status(), end.err());
    assertTrue(end.out().length > 8);
  }

  @Test
  void aTruncatedFrameExitsOneAndWritesNoHalfReply() throws Exception {
    byte[] good = BatchWriter.frame(1);
    byte[] bad = BatchWriter.frame(2, "0f0300", "03 4d00000000000000");
    End end = run(BatchWriter.join(good, Arrays.copyOf(bad, bad.length - 2)), "adapter");
    assertEquals(1, end.status());
    assertEquals(8, end.out().length);
    assertTrue(end.err().contains("truncated frame at byte 16"), end.err());
  }

  @Test
  void anUnknownCodeAndAMissingKeyExitOne() throws Exception {
    End code = run(BatchWriter.frame(2, "0f0300", "63"), "adapter");
    assertEquals(1, code.status());
    assertTrue(code.err().contains("unknown record code 99"), code.err());
    End key =
        run(
            BatchWriter.frame(
                2, "0f0300", BatchWriter.hello(BatchWriter.SETTINGS.replace("tickUs=5000", ""))),
            "adapter");
    assertEquals(1, key.status());
    assertTrue(key.err().contains("tickUs"), key.err());
    assertEquals(0, key.out().length);
  }

  /** The files under {@code policy} in the deploy file hold every decision. */
  @Test
  void decisionModulesOfTheDeployFileStayWithinTheirSizeAndColumns() throws Exception {
    String deployFile = Files.readString(Path.of("deploy/balancer.toml"));
    Matcher policy = Pattern.compile("(?m)^policy = \\[(.*?)\\]").matcher(deployFile);
    assertTrue(policy.find(), deployFile);
    for (String name : policy.group(1).replace("\"", "").split(", *")) {
      List<String> lines = Files.readAllLines(Path.of(name));
      long filled = lines.stream().filter(l -> !l.isBlank()).count();
      assertTrue(filled <= MAX_MODULE_LINES, name + ": " + filled + " lines that are not blank");
      assertTrue(lines.stream().allMatch(l -> l.length() <= 100), name);
    }
  }
}
