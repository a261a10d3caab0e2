package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.ProxyStream;
import pearusher.protocol.Message;

/** The event loop around the policy: batches, timers, limits and failures. */
class DecisionLoopTest extends LoopbackFixture {
  /**
   * Reports of one instant arrive by several connections: the policy must not see a part of them.
   */
  @Test
  void eventsOfOneInstantAreOneBatch() throws Exception {
    AtomicInteger pauses = new AtomicInteger();
    AssignerConfig config = example.read(directory);
    Controller controller =
        new Controller(config, policy, () -> 1_000_000, failure::set) {
          @Override
          public void awaitTick() {
            int pause = pauses.incrementAndGet();
            if (pause < 3) {
              onUsageReport(new Message.UsageReport(3, 0, pause, 0, 1_000_000));
            }
          }
        };
    AtomicInteger eventsInBatch = new AtomicInteger();
    policy.setController(controller);
    controller.start();
    policy.command(commands -> eventsInBatch.set(policy.events.size()));
    controller.runIteration();
    assertEquals(3, eventsInBatch.get(), "the list and both reports: " + policy.events);
    assertEquals(3, pauses.get());
    assertEquals(0, controller.pendingEvents());
  }

  @Test
  void timersFireInTheirOrder() throws Exception {
    start();
    policy.command(
        commands -> {
          commands.setTimer(30_000, 2);
          commands.setTimer(0, 1);
          commands.setTimer(30_000, 3);
        });
    policy.awaitEvent("onTimer 1");
    policy.awaitEvent("onTimer 2");
    policy.awaitEvent("onTimer 3");
  }

  /** An exception of the policy ends all decisions, not only those of its iteration. */
  @Test
  void failureOfThePolicyIsReported() throws Exception {
    start();
    joinProxy(3);
    policy.command(
        commands -> {
          throw new IllegalStateException("wrong");
        });
    TestPeers.awaitUntil("the failure", () -> failure.get() != null);
    assertEquals("wrong", failure.get().getMessage());
  }

  /** Reports are dropped above a limit; joins and ends of streams never are. */
  @Test
  void waitingReportsAreBoundedAndJoinsAreNot() throws Exception {
    AssignerConfig config = example.read(directory);
    Controller controller =
        new Controller(config, policy, () -> 1_000_000, failure::set) {
          @Override
          public void awaitTick() {}
        };
    policy.setController(controller);
    controller.start();
    for (int k = 0; k < 20_050; k++) {
      controller.onUsageReport(new Message.UsageReport(3, 0, k, 0, 1_000_000));
    }
    controller.onProxyJoined(
        new ProxyStream() {
          @Override
          public void send(byte[] message) {}

          @Override
          public void onReplaced() {}
        },
        new Message.ProxyJoin(5, 0, 1, true));
    assertEquals(50, controller.droppedReports());
    awaitLog("WARN reports dropped: 20000 wait, more are dropped from here on");
    while (controller.pendingEvents() > 0) {
      controller.runIteration();
    }
    assertEquals(
        20_000, policy.events.stream().filter(event -> event.startsWith("onUsageReport")).count());
    assertTrue(policy.events.get(policy.events.size() - 1).startsWith("onProxyJoined 5"));
    awaitLog("WARN reports dropped no more: 50 in all");
    assertEquals(
        2,
        log.toString(StandardCharsets.UTF_8)
            .lines()
            .filter(l -> l.contains("reports dropped"))
            .count(),
        "said once as it begins and once as it ends");
    controller.onUsageReport(new Message.UsageReport(3, 0, 1, 0, 1_000_000));
    assertEquals(50, controller.droppedReports());
  }

  @Test
  void clockIsMonotonicUnixTimeInMicroseconds() {
    LongSupplier clock = Controller.unixClock();
    long first = clock.getAsLong();
    assertTrue(Math.abs(first / 1000 - System.currentTimeMillis()) < 60_000);
    for (int k = 0; k < 1000; k++) {
      long next = clock.getAsLong();
      assertTrue(next >= first);
      first = next;
    }
  }
}
