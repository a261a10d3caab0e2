package pearusher.policy;

/**
 * Forecasts the share of attempts that succeed. Overload grows while reports travel: a fall is
 * assumed to continue for a period, and a rise counts one period late.
 */
final class SuccessForecast {
  private double lastShare;
  private double forecastShare;

  void update(AttemptStats recent) {
    double share = recent.succeeded / Math.max(1, recent.succeeded + recent.failed);
    forecastShare = share < lastShare ? Math.max(0, 2 * share - lastShare) : lastShare;
    lastShare = share;
  }

  double share() {
    return forecastShare;
  }
}
