package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pearusher.policy.PolicyCommands;

/** Assigner on the loopback interface whose bytes are compared with a recorded transcript. */
abstract class TranscriptFixture extends LoopbackFixture {
  private static final int TIMEOUT_SECONDS = 20;

  AssignerServer server;
  final StringBuilder transcript = new StringBuilder();

  static String resp(String line) {
    return new String(TestPeers.encodeLine(line), StandardCharsets.US_ASCII);
  }

  /** Issues commands in one iteration of the decision loop, and waits until it has ended. */
  void issueInOneIteration(Consumer<PolicyCommands> issuer) throws InterruptedException {
    CountDownLatch issued = new CountDownLatch(1);
    policy.command(
        commands -> {
          issuer.accept(commands);
          issued.countDown();
        });
    assertTrue(issued.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "commands not issued within 20 s");
    CountDownLatch nextIteration = new CountDownLatch(1);
    server.controller().execute(nextIteration::countDown);
    assertTrue(
        nextIteration.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no further iteration within 20 s");
  }
}
