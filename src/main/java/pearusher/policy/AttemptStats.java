package pearusher.policy;

/** Tries counted by what they brought; decays with the time it covers. */
final class AttemptStats {
  double good, sumUs, bad;

  double tries() {
    return good + bad;
  }

  void scale(double factor) {
    good *= factor;
    sumUs *= factor;
    bad *= factor;
  }

  void add(AttemptStats other) {
    good += other.good;
    sumUs += other.sumUs;
    bad += other.bad;
  }
}
