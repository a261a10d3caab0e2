package pearusher.capacity;

import java.util.Arrays;
import pearusher.server.MessageSizes;

/**
 * What one assigner of a tier is asked: upper bounds, since tries that spread evenly over servers
 * and zones make the most report lines.
 */
record AssignerLoad(
    double servers,
    double zonesKnown,
    double zonesInScope,
    double proxies,
    double requests,
    double heardLines,
    double bytesIn,
    double bytesOut,
    double listBytes,
    double bindBytes,
    double pairsKnown,
    double pairsInScope,
    double listEntries) {
  /** Tries a request: some are tried again. */
  static final double TRIES_PER_REQUEST = 1.1;

  /**
   * Of the servers heard of in a period, those whose line goes to a proxy: 90 KB/s of 7,800
   * lines/s.
   */
  static final double LINES_CHANGED = 0.46;

  static final double PERIOD_S = 1;
  static final int CLASSES = 2;

  /** An empty line that shows that the watch lives, with its chunk's frame. */
  private static final double BEAT_BYTES_PER_S = "2\r\n\n\r\n".length() / 2.0;

  /** List entries that a restart of a task makes: it drains, it is gone, it is back. */
  static final int ENTRIES_PER_RESTART = 3;

  /** And a failure: it is gone, it is back. */
  static final int ENTRIES_PER_FAILURE = 2;

  /** List entries a second of the whole fleet on an ordinary day. */
  static double fleetEntriesPerS() {
    double ofTasks = 1.0 * CapacityTarget.TASKS / (CapacityTarget.TASKS + CapacityTarget.ASSIGNERS);
    return ofTasks
        * (ENTRIES_PER_RESTART * CapacityTarget.RESTARTS_PER_DAY
            + ENTRIES_PER_FAILURE * CapacityTarget.FAILURES_PER_DAY)
        / CapacityTarget.SECONDS_PER_DAY;
  }

  static AssignerLoad of(TierMap.Tier tier, MessageSizes sizes) {
    double proxies = 1.0 * tier.proxies() / tier.assigners();
    double requests = tier.requests() / tier.assigners();
    double zones = zonesMet(tier.proxiesByZone(), proxies);
    double pairs = tier.listed() * zones;
    double lines = linesHeard(requests * TRIES_PER_REQUEST, pairs);
    double entries = fleetEntriesPerS() * tier.listed() / CapacityTarget.TASKS;
    double usage = Math.min(requests, proxies * CLASSES / PERIOD_S);
    double probes = tier.listed() / PERIOD_S / tier.assigners();
    double in =
        lines * sizes.heard()
            + usage * sizes.usage()
            + entries * sizes.listEntry()
            + BEAT_BYTES_PER_S
            + probes * sizes.probeAnswer();
    double changed = LINES_CHANGED * Math.min(tier.listed() / PERIOD_S, lines);
    double out =
        proxies * (changed * sizes.tableLine() + sizes.updateHead() / PERIOD_S)
            + probes * sizes.probeRequest();
    return new AssignerLoad(
        tier.listed(),
        tier.zonesKnown(),
        zones,
        proxies,
        requests,
        lines,
        in,
        out,
        tier.listed() * sizes.listEntry(),
        proxies * (sizes.updateHead() + tier.listed() * sizes.tableLine()),
        1.0 * tier.listed() * tier.zonesKnown(),
        pairs,
        entries);
  }

  /** Zones that so many of the tier's proxies come from, drawn at random: one at least. */
  static double zonesMet(int[] proxiesByZone, double proxies) {
    double all = Arrays.stream(proxiesByZone).sum();
    double met =
        Arrays.stream(proxiesByZone).mapToDouble(p -> 1 - Math.pow(1 - p / all, proxies)).sum();
    return Math.max(1, met);
  }

  /**
   * Pairs of server and zone with a try in a period, tries spread evenly: never more than the
   * tries.
   */
  static double linesHeard(double triesPerS, double pairs) {
    return pairs / PERIOD_S * -Math.expm1(-triesPerS * PERIOD_S / pairs);
  }
}
