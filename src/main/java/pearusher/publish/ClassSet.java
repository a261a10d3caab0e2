package pearusher.publish;

import java.util.function.IntConsumer;

/**
 * An immutable set of request classes by their positions in the settings.
 *
 * @param bits a bit for each class, the lowest for position 0
 */
public record ClassSet(int bits) {
  static final ClassSet EMPTY = new ClassSet(0);

  /** Returns the set of one class. */
  static ClassSet of(int requestClass) {
    return new ClassSet(1 << requestClass);
  }

  boolean isEmpty() {
    return bits == 0;
  }

  boolean contains(int requestClass) {
    return (bits >> requestClass & 1) != 0;
  }

  ClassSet union(ClassSet other) {
    return new ClassSet(bits | other.bits);
  }

  ClassSet minus(ClassSet other) {
    return new ClassSet(bits & ~other.bits);
  }

  /** Calls an action with each class, in ascending order of the positions. */
  public void forEach(IntConsumer action) {
    for (int remaining = bits; remaining != 0; remaining &= remaining - 1) {
      action.accept(Integer.numberOfTrailingZeros(remaining));
    }
  }
}
