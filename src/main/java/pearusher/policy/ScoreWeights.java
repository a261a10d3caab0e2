package pearusher.policy;

/** What a result is made of. */
public record ScoreWeights(
    double whole,
    double worstWindow,
    double worstClass,
    double worstTenant,
    double nines,
    double ninesFull,
    boolean byWork) {}
