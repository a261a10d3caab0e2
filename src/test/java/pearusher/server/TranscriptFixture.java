package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pearusher.policy.PolicyCommands;

/** An assigner on loopback whose bytes are compared with a recorded transcript. */
abstract class TranscriptFixture extends LoopbackFixture {
  private static final int TIMEOUT_SECONDS = 20;

  AssignerServer server;
  final StringBuilder transcript = new StringBuilder();

  static String resp(String line) {
    return new String(TestPeers.encodeLine(line), StandardCharsets.US_ASCII);
  }

  /** Issues commands, and returns once the iteration in which they were issued has ended. */
  void issueInOneIteration(Consumer<PolicyCommands> issuer) throws InterruptedException {
    CountDownLatch issued = new CountDownLatch(1);
    policy.command(
        commands -> {
          issuer.accept(commands);
          issued.countDown();
        });
    assertTrue(issued.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the commands were not issued");
    CountDownLatch nextIteration = new CountDownLatch(1);
    server.controller().execute(nextIteration::countDown);
    assertTrue(nextIteration.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no iteration followed");
  }
}
