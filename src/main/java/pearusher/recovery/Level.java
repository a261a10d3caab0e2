package pearusher.recovery;

/** A level and the way of trying again that was ordered with it. */
public record Level(double level, int retry) {}
