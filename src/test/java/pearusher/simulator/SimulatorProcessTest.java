package pearusher.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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

/**
 * Tests of the simulator command as a process, and of the size limits on the source files of the
 * policy.
 */
class SimulatorProcessTest {
  /** Limit on the lines of a policy source file that are not blank. */
  private static final int MAX_MODULE_LINES = 250;

  @TempDir Path dir;

  private record ProcessResult(int status, byte[] out, String err) {}

  private ProcessResult run(byte[] in, String... args) throws Exception {
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
    Process process =
        new ProcessBuilder(command)
            .redirectOutput(out.toFile())
            .redirectError(err.toFile())
            .start();
    try (OutputStream processInput = process.getOutputStream()) {
      processInput.write(in);
    } catch (IOException closed) {
      assertTrue(args.length != 1, "the simulator command closed its input: " + closed);
    }
    return new ProcessResult(
        process.waitFor(), Files.readAllBytes(out), Files.readString(err, StandardCharsets.UTF_8));
  }

  @Test
  void invalidUsageExitsWithTwo() throws Exception {
    assertEquals(2, run(new byte[0]).status());
    ProcessResult result = run(new byte[0], "sidecar");
    assertEquals(2, result.status());
    assertTrue(result.err().contains("Usage: pearusher"), result.err());
  }

  @Test
  void endOfInputBetweenFramesExitsWithZero() throws Exception {
    ProcessResult result =
        run(
            BatchWriter.frame(
                1, "0f0300", BatchWriter.start(BatchWriter.SETTINGS), BatchWriter.cachedList()),
            "adapter");
    assertEquals(0, result.status(), result.err());
    assertTrue(result.out().length > 8);
  }

  @Test
  void truncatedFrameExitsWithOneWithoutPartialReply() throws Exception {
    byte[] valid = BatchWriter.frame(1);
    byte[] truncated = BatchWriter.frame(2, "0f0300", "03 4d00000000000000");
    ProcessResult result =
        run(BatchWriter.join(valid, Arrays.copyOf(truncated, truncated.length - 2)), "adapter");
    assertEquals(1, result.status());
    assertEquals(8, result.out().length);
    assertTrue(result.err().contains("truncated frame at byte 16"), result.err());
  }

  @Test
  void unknownCodeOrMissingKeyExitsWithOne() throws Exception {
    ProcessResult unknownCode = run(BatchWriter.frame(2, "0f0300", "63"), "adapter");
    assertEquals(1, unknownCode.status());
    assertTrue(unknownCode.err().contains("unknown record code 99"), unknownCode.err());
    ProcessResult missingKey =
        run(
            BatchWriter.frame(
                2, "0f0300", BatchWriter.start(BatchWriter.SETTINGS.replace("tickUs=5000", ""))),
            "adapter");
    assertEquals(1, missingKey.status());
    assertTrue(missingKey.err().contains("tickUs"), missingKey.err());
    assertEquals(0, missingKey.out().length);
  }

  /** The deploy file lists the source files of the policy under {@code policy}. */
  @Test
  void policyFilesOfTheDeployFileAreWithinTheLimitsOnLinesAndColumns() throws Exception {
    String deployFile = Files.readString(Path.of("deploy/balancer.toml"));
    Matcher policy = Pattern.compile("(?m)^policy = \\[(.*?)\\]").matcher(deployFile);
    assertTrue(policy.find(), deployFile);
    for (String name : policy.group(1).replace("\"", "").split(", *")) {
      List<String> lines = Files.readAllLines(Path.of(name));
      long nonBlankLines = lines.stream().filter(l -> !l.isBlank()).count();
      assertTrue(
          nonBlankLines <= MAX_MODULE_LINES,
          name + ": " + nonBlankLines + " lines that are not blank");
      assertTrue(lines.stream().allMatch(l -> l.length() <= 100), name);
    }
  }
}
