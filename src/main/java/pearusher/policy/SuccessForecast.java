package pearusher.policy;

/**
 * Forecasts the share of attempts that succeed. Overload grows while reports are in transit: a
 * decrease is assumed to continue for one more period, and an increase takes effect one period
 * later.
 */
final class SuccessForecast {
  private double lastShare;
  private double forecastShare;

  void update(AttemptStats recent) {
    double currentShare = recent.succeeded / Math.max(1, recent.succeeded + recent.failed);
    forecastShare =
        currentShare < lastShare ? Math.max(0, 2 * currentShare - lastShare) : lastShare;
    lastShare = currentShare;
  }

  double successShare() {
    return forecastShare;
  }
}
