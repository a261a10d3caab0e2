package pearusher.policy;

/**
 * The update channel to the proxies. Its capacity is counted in lines.
 *
 * @param linesPerSecond lines that it carries per second
 * @param messageOverheadLines fixed lines of each message
 * @param maxBacklogLines most lines that may wait
 * @param maxMessagesPerProxy most messages to a proxy within the window; 0: no limit
 * @param messageWindowUs window of that limit, in microseconds
 * @param transitDelayUs mean transit time of a message, in microseconds
 * @param maxPushDelayUs longest transit time, in microseconds
 */
public record ChannelSettings(
    double linesPerSecond,
    double messageOverheadLines,
    double maxBacklogLines,
    int maxMessagesPerProxy,
    long messageWindowUs,
    long transitDelayUs,
    long maxPushDelayUs) {}
