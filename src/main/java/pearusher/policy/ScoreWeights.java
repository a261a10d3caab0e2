package pearusher.policy;

/** What a result is made of. */
public record ScoreWeights(
    double overall,
    double worstWindow,
    double worstClass,
    double worstTenant,
    double nines,
    double ninesFull,
    boolean byWork) {}
