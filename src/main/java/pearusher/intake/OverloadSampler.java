package pearusher.intake;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Reduces the reports that wait to a number that can be served. An origin that has no more than its
 * even share keeps all of it. The others are sampled together, each with the same total mass, so
 * that each keeps an even share on average whatever it sent: samples of one or two reports for each
 * origin would state no error that can be trusted.
 */
final class OverloadSampler {
  /**
   * A report that may be dropped.
   *
   * @param mass its part of the attempts that its origin reported
   */
  private record Candidate(
      OriginQueue queue, QueuedReport.Subject subject, ReportTotals totals, double mass) {}

  /**
   * What sampling did.
   *
   * @param keptPart the part of the reports that was kept
   * @param relativeError the standard error of the attempts that they stand for, as a part of those
   */
  record Outcome(double keptPart, double relativeError) {}

  private final SplittableRandom random;

  OverloadSampler(SplittableRandom random) {
    this.random = random;
  }

  /** Samples the reports of a queue if there are more than a capacity; empty if not. */
  Optional<Outcome> reduce(FairQueue reports, int capacity) {
    if (reports.size() <= capacity) {
      return Optional.empty();
    }
    int sizeBefore = reports.size();
    int share = evenShare(reports, capacity);
    double variance = sampleAbove(reports, share);
    reports.removeEmptyQueues();
    double keptPart = 1.0 * reports.size() / sizeBefore;
    double error = Math.sqrt(variance) / Math.max(1, attempts(reports));
    return Optional.of(new Outcome(keptPart, error));
  }

  /**
   * The largest number of reports that each origin may keep so that all together keep no more than
   * the capacity: what one leaves unused goes to the others.
   */
  private static int evenShare(FairQueue reports, int capacity) {
    int[] sizes = reports.queues().stream().mapToInt(OriginQueue::size).sorted().toArray();
    int left = capacity;
    for (int k = 0; k < sizes.length; k++) {
      int share = left / (sizes.length - k);
      if (sizes[k] > share) {
        return Math.max(1, share);
      }
      left -= sizes[k];
    }
    return capacity;
  }

  /**
   * Samples the queues that are longer than a share; the variance of the attempts they stand for.
   */
  private double sampleAbove(FairQueue reports, int share) {
    List<Candidate> candidates = new ArrayList<>();
    int sampledOrigins = 0;
    for (OriginQueue queue : reports.queues()) {
      if (queue.size() > share) {
        sampledOrigins++;
        addCandidates(queue, candidates);
        queue.totals().clear();
      }
    }
    double variance = 0;
    PrioritySample<Candidate> sample =
        new PrioritySample<>(candidates, Candidate::mass, share * sampledOrigins, random);
    for (PrioritySample.Kept<Candidate> kept : sample.kept()) {
      variance += putBack(kept);
    }
    return variance;
  }

  private static void addCandidates(OriginQueue queue, List<Candidate> candidates) {
    double total = queue.totals().values().stream().mapToDouble(OverloadSampler::weight).sum();
    queue
        .totals()
        .forEach(
            (subject, totals) ->
                candidates.add(new Candidate(queue, subject, totals, weight(totals) / total)));
  }

  /** A report without attempts counts too: it says that its origin is alive. */
  private static long weight(ReportTotals totals) {
    return Math.max(1, totals.attempts());
  }

  /** Scales a kept report to what it stands for; the variance of its attempts. */
  private double putBack(PrioritySample.Kept<Candidate> kept) {
    Candidate candidate = kept.item();
    double attempts = candidate.totals().attempts() / candidate.mass();
    double addedVariance = kept.variance() * attempts * attempts;
    double factor = kept.estimate() / candidate.mass();
    ReportTotals scaled = candidate.totals().scaled(factor, addedVariance, random);
    candidate.queue().totals().put(candidate.subject(), scaled);
    return addedVariance;
  }

  private static long attempts(FairQueue reports) {
    return reports.queues().stream()
        .flatMap(queue -> queue.totals().values().stream())
        .mapToLong(ReportTotals::attempts)
        .sum();
  }
}
