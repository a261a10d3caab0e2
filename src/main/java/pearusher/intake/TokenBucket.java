package pearusher.intake;

/** Token bucket rate limiter whose capacity is the number of tokens of one second. */
final class TokenBucket {
  private static final long SECOND_US = 1_000_000;

  private final double tokensPerSecond;
  private double tokens;
  private long lastRefillUs;
  private boolean hasRefilled;

  TokenBucket(double tokensPerSecond) {
    this.tokensPerSecond = tokensPerSecond;
  }

  /** Empties the bucket; the next refill adds no tokens. */
  void reset() {
    tokens = 0;
    hasRefilled = false;
  }

  /**
   * Adds the tokens for the time since the last refill. A clock that jumps back adds none; a clock
   * that jumps ahead adds at most the tokens of one second.
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

  void consumeToken() {
    tokens--;
  }
}
