package pearusher.recovery;

import pearusher.policy.Assigner;

/** What the list last said of a server; positions and times as in {@link Assigner.Entry}. */
public record ListedServer(
    String name,
    String hostPort,
    int zone,
    int kind,
    int cell,
    Assigner.State state,
    double weight,
    long startedUs) {}
