package pearusher.config;

/** Time-outs of input and output, in milliseconds: all may be set under the key timeouts. */
public record Timeouts(int connectMs, int responseMs, int idleMs, int identificationMs) {}
