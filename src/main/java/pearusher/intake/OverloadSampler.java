package pearusher.intake;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Reduces queued reports to a number that can be delivered. Origins with at most an even share of
 * the capacity keep all their reports. The reports of all other origins form one sample, in which
 * each origin has the same total weight, so that each keeps an even share on average regardless of
 * the number of reports that it sent. Separate samples of one or two reports per origin would give
 * no reliable error estimate.
 */
final class OverloadSampler {
  /**
   * Report that may be dropped.
   *
   * @param normalizedWeight its weight divided by the sum of the weights of its origin's reports
   */
  private record Candidate(
      OriginQueue queue,
      QueuedReport.Subject subject,
      ReportTotals totals,
      double normalizedWeight) {}

  /**
   * Result of sampling.
   *
   * @param keptShare the fraction of the reports that remain queued, from 0 to 1
   * @param relativeError the standard error of the estimated number of attempts, divided by that
   *     number
   */
  record Outcome(double keptShare, double relativeError) {}

  private final SplittableRandom random;

  OverloadSampler(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Samples the reports of a queue if their number exceeds a capacity.
   *
   * @return the result; empty if no sampling was needed
   */
  Optional<Outcome> reduce(FairQueue reports, int capacity) {
    if (reports.size() <= capacity) {
      return Optional.empty();
    }
    int sizeBefore = reports.size();
    int share = evenShare(reports, capacity);
    double variance = sampleAbove(reports, share);
    reports.removeEmptyQueues();
    double keptShare = 1.0 * reports.size() / sizeBefore;
    double error = Math.sqrt(variance) / Math.max(1, attempts(reports));
    return Optional.of(new Outcome(keptShare, error));
  }

  /**
   * Returns the maximum number of reports that each origin may keep so that the total does not
   * exceed the capacity. The unused share of an origin is divided among the others. The result is
   * at least 1, even if there are more origins than capacity.
   */
  private static int evenShare(FairQueue reports, int capacity) {
    int[] sizes = reports.queues().stream().mapToInt(OriginQueue::size).sorted().toArray();
    int remainingCapacity = capacity;
    for (int k = 0; k < sizes.length; k++) {
      int share = remainingCapacity / (sizes.length - k);
      if (sizes[k] > share) {
        return Math.max(1, share);
      }
      remainingCapacity -= sizes[k];
    }
    return capacity;
  }

  /**
   * Samples the queues that are longer than a share.
   *
   * @return the variance of the estimated number of attempts
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
        new PrioritySample<>(
            candidates, Candidate::normalizedWeight, share * sampledOrigins, random);
    for (PrioritySample.SampledItem<Candidate> sampled : sample.items()) {
      variance += requeueScaled(sampled);
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

  /** Returns at least 1: a report without attempts still shows that its origin is running. */
  private static long weight(ReportTotals totals) {
    return Math.max(1, totals.attempts());
  }

  /**
   * Puts a sampled report back in its queue, scaled to the reports that it represents.
   *
   * @return the variance that the scaling adds to the estimated number of attempts
   */
  private double requeueScaled(PrioritySample.SampledItem<Candidate> sampled) {
    Candidate candidate = sampled.item();
    double attempts = candidate.totals().attempts() / candidate.normalizedWeight();
    double addedVariance = sampled.variance() * attempts * attempts;
    double factor = sampled.estimate() / candidate.normalizedWeight();
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
