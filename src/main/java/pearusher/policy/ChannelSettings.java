package pearusher.policy;

/**
 * Settings of the update channel to the proxies, whose capacity is counted in lines.
 *
 * @param linesPerSecond capacity of the channel, in lines per second
 * @param messageOverheadLines fixed overhead of each message, in lines
 * @param maxBacklogLines maximum number of lines waiting to be sent
 * @param maxMessagesPerProxy maximum number of messages to a proxy within the message window; 0: no
 *     limit
 * @param messageWindowUs length of the message window, in microseconds
 * @param transitDelayUs mean transit time of a message, in microseconds
 * @param maxPushDelayUs maximum transit time of a message, in microseconds
 */
public record ChannelSettings(
    double linesPerSecond,
    double messageOverheadLines,
    double maxBacklogLines,
    int maxMessagesPerProxy,
    long messageWindowUs,
    long transitDelayUs,
    long maxPushDelayUs) {}
