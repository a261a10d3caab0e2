package pearusher.policy;

/** The way to the proxies: pace, fixed lines of a message, most lines waiting, and its delays. */
public record ChannelSettings(
    double linesPerS,
    double head,
    double backlog,
    int messagesMost,
    long messagesOverUs,
    long lateUs,
    long lateMostUs) {}
