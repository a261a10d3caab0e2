package pearusher.policy;

/** The way to the proxies: pace, fixed lines of a message, most lines waiting, and its delays. */
public record ChannelSettings(
    double linesPerSecond,
    double messageOverheadLines,
    double maxBacklogLines,
    int maxMessagesPerProxy,
    long messageWindowUs,
    long transitDelayUs,
    long maxPushDelayUs) {}
