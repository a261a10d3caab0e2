package pearusher.control;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import pearusher.intake.QueuedReport;
import pearusher.intake.ReportTotals;
import pearusher.policy.AssignmentPolicy;
import pearusher.protocol.Message;

/**
 * The way of a report to the module: through the intake where the operators switched it on, else
 * through the bounded queue. Reports come from any thread and reach the module on the decision
 * thread. It keeps nothing itself; what waits is the intake's or the queue's.
 */
final class ReportDispatcher {
  private final EventLoop loop;
  private final BoundedReportQueue queue;

  /**
   * Where reports wait, where the operators switched it on; else null, and they wait in the queue.
   */
  private final SynchronizedIntake intake;

  private final long periodUs;
  private final Supplier<AssignmentPolicy> module;

  /** A listed server's number by its name; null for one that no list has named yet. */
  private final Function<String, Long> numbers;

  private Consumer<QueuedReport> listener = item -> {};

  ReportDispatcher(
      EventLoop loop,
      BoundedReportQueue queue,
      SynchronizedIntake intake,
      long periodUs,
      Supplier<AssignmentPolicy> module,
      Function<String, Long> numbers) {
    this.loop = loop;
    this.queue = queue;
    this.intake = intake;
    this.periodUs = periodUs;
    this.module = module;
    this.numbers = numbers;
  }

  /**
   * Tries at a server. A report on a server that no list has named yet is dropped: the proxies'
   * list may be newer.
   *
   * @param origin the proxy, or a number below 0 that is the collector's own
   */
  void onLoadReport(Message.LoadReport what, int origin) {
    if (intake != null) {
      intake.offer(
          new QueuedReport(
              origin,
              new QueuedReport.ServerAttempts(what.server(), what.zone()),
              ReportTotals.of(
                  what.attempts(), what.failed(), what.meanUs(), what.spanUs(), what.load())),
          this::wake);
      return;
    }
    queue.add(
        () -> {
          Long server = numbers.apply(what.server());
          if (server != null) {
            module
                .get()
                .onLoadReport(
                    loop.nowUs(),
                    server,
                    what.zone(),
                    what.attempts(),
                    what.failed(),
                    what.spanUs(),
                    what.meanUs(),
                    what.load());
          }
        });
  }

  /** Requests that came to a proxy; {@code origin} as in {@link #onLoadReport}. */
  void onUsageReport(Message.UsageReport what, int origin) {
    if (intake != null) {
      // Those that failed may be more than came: there is no mean to be weighted by the good ones.
      intake.offer(
          new QueuedReport(
              origin,
              new QueuedReport.ProxyRequests(what.proxy(), what.requestClass()),
              new ReportTotals(
                  what.requests(), what.failed(), 0, what.spanUs(), 1, new float[0], 0)),
          this::wake);
      return;
    }
    queue.add(
        () ->
            module
                .get()
                .onUsageReport(
                    loop.nowUs(),
                    what.proxy(),
                    what.requestClass(),
                    what.requests(),
                    what.failed(),
                    what.spanUs()));
  }

  private void wake() {
    loop.add(() -> intake.next(loop.nowUs(), this::deliver));
  }

  /** Whether the intake holds reports that no event announces. */
  boolean isOverloaded() {
    return intake != null && intake.flooded();
  }

  /** Hands the module what of a flood is due, on the decision thread. */
  void deliverDue() {
    intake.serve(loop.nowUs(), this::deliver);
  }

  /** Tells a test of each report that has its turn, on the decision thread. */
  void listen(Consumer<QueuedReport> to) {
    listener = to;
  }

  /** A report has its turn. A server that no list has named yet is passed over, as ever. */
  private void deliver(QueuedReport item) {
    listener.accept(item);
    if (item.subject() instanceof QueuedReport.ProxyRequests requests) {
      deliver(item, requests);
    } else if (item.subject() instanceof QueuedReport.ServerAttempts tries) {
      deliver(item, tries);
    }
  }

  private void deliver(QueuedReport item, QueuedReport.ProxyRequests about) {
    // A rate of long ago says nothing of now, whatever it is counted for.
    if (item.ageUs() > SynchronizedIntake.OLD_USAGE_PERIODS * periodUs) {
      return;
    }
    ReportTotals sums = item.totals();
    module
        .get()
        .onUsageReport(
            loop.nowUs(),
            about.proxy(),
            about.requestClass(),
            sums.attempts(),
            sums.failed(),
            sums.spanUs());
  }

  private void deliver(QueuedReport item, QueuedReport.ServerAttempts about) {
    Long server = numbers.apply(about.server());
    if (server == null) {
      return;
    }
    ReportTotals sums = item.totals();
    if (item.ageUs() == 0) {
      module
          .get()
          .onLoadReport(
              loop.nowUs(),
              server,
              about.zone(),
              sums.attempts(),
              sums.failed(),
              sums.spanUs(),
              sums.meanUs(),
              sums.load());
      return;
    }
    module
        .get()
        .onLoadReport(
            loop.nowUs(),
            server,
            about.zone(),
            sums.attempts(),
            sums.failed(),
            sums.spanUs(),
            sums.meanUs(),
            sums.load(),
            item.ageUs());
  }
}
