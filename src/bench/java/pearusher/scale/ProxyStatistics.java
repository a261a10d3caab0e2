package pearusher.scale;

import org.HdrHistogram.Histogram;

/**
 * Counts and durations of binds, ended streams and drains of simulated proxies. Owned by the event
 * loop of the proxies.
 */
final class ProxyStatistics {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final DrainTimer drains = new DrainTimer();
  private final Histogram bindUs = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram bindBytes = new Histogram(SIGNIFICANT_DIGITS);
  private int boundCount;
  private int streamsEnded;
  private String connectFailure;

  DrainTimer drains() {
    return drains;
  }

  void recordBind(long durationNs, long receivedBytes) {
    boundCount++;
    bindUs.recordValue(durationNs / 1000);
    bindBytes.recordValue(receivedBytes);
  }

  void recordUnbind() {
    boundCount--;
  }

  void recordStreamEnd() {
    streamsEnded++;
  }

  void recordConnectFailure(String failure) {
    connectFailure = failure;
  }

  ProxyFigures snapshot() {
    return new ProxyFigures(
        boundCount,
        streamsEnded,
        drains.unfinishedCount(),
        bindUs.copy(),
        bindBytes.copy(),
        drains.perProxyUs().copy(),
        drains.everywhereUs().copy(),
        connectFailure);
  }
}
