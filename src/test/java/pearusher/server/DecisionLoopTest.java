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

/** Decision loop that runs the policy: batches, timers, limits and failures. */
class DecisionLoopTest extends LoopbackFixture {
  /**
   * Reports sent at the same time arrive over several connections. The policy must not make
   * decisions before it has received all of them.
   */
  @Test
  void eventsThatArriveTogetherAreOneBatch() throws Exception {
    AtomicInteger tickCount = new AtomicInteger();
    AssignerConfig config = example.read(directory);
    Controller controller =
        new Controller(config, policy, () -> 1_000_000, failure::set) {
          @Override
          public void awaitTick() {
            int tick = tickCount.incrementAndGet();
            if (tick < 3) {
              onUsageReport(new Message.UsageReport(3, 0, tick, 0, 1_000_000));
            }
          }
        };
    AtomicInteger eventsInBatch = new AtomicInteger();
    policy.setController(controller);
    controller.start();
    policy.command(commands -> eventsInBatch.set(policy.events.size()));
    controller.runIteration();
    assertEquals(3, eventsInBatch.get(), "the list and both reports: " + policy.events);
    assertEquals(3, tickCount.get());
    assertEquals(0, controller.pendingEvents());
  }

  @Test
  void timersFireInOrderOfDueTimeAndCreation() throws Exception {
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

  /** An exception of the policy stops the decision loop, not only the current iteration. */
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

  /** Pending reports above a limit are dropped. Joins and ends of streams are never dropped. */
  @Test
  void pendingReportsAreBoundedAndJoinsAreNot() throws Exception {
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
    awaitLog("WARN reports dropped: queue is full at 20000 reports, further reports are dropped");
    while (controller.pendingEvents() > 0) {
      controller.runIteration();
    }
    assertEquals(
        20_000, policy.events.stream().filter(event -> event.startsWith("onUsageReport")).count());
    assertTrue(policy.events.get(policy.events.size() - 1).startsWith("onProxyJoined 5"));
    awaitLog("WARN report queue recovered: 50 reports dropped since the start");
    assertEquals(
        2,
        log.toString(StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.contains("reports dropped"))
            .count(),
        "log lines: one at the start of the overload, one at its end");
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
