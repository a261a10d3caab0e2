package pearusher.intake;

/** A rate limit: tokens that accrue with time, up to a second's worth. */
final class TokenBucket {
  private static final long SECOND_US = 1_000_000;

  private final double tokensPerSecond;
  private double tokens;
  private long lastRefillUs;
  private boolean hasRefilled;

  TokenBucket(double tokensPerSecond) {
    this.tokensPerSecond = tokensPerSecond;
  }

  /** Starts again without tokens. */
  void reset() {
    tokens = 0;
    hasRefilled = false;
  }

  /**
   * Adds the tokens that have accrued since the last refill. A clock that jumps back adds none, one
   * that jumps ahead a second's worth.
   */
  void refill(long nowUs) {
    long elapsedUs = hasRefilled ? Math.max(0, Math.min(SECOND_US, nowUs - lastRefillUs)) : 0;
    lastRefillUs = nowUs;
    hasRefilled = true;
    tokens = Math.min(tokensPerSecond, tokens + elapsedUs * tokensPerSecond / 1e6);
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  void take() {
    tokens--;
  }
}
