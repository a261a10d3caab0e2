package pearusher.policy;

/**
 * Weights of the components of a score.
 *
 * @param overall all requests
 * @param worstWindow the worst time window
 * @param worstClass the worst request class
 * @param worstTenant the worst tenant
 * @param nines the success rate, counted in nines
 * @param ninesFull number of nines that yields the full score
 * @param byWork whether requests are counted by their work
 */
public record ScoreWeights(
    double overall,
    double worstWindow,
    double worstClass,
    double worstTenant,
    double nines,
    double ninesFull,
    boolean byWork) {}
