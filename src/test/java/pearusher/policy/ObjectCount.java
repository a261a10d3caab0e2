package pearusher.policy;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts what an object keeps: objects of this package that can be reached from it, and the
 * elements of their collections, maps and arrays. What the settings hold and where orders go is not
 * its own.
 */
final class ObjectCount {
  private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<Object> open = new ArrayDeque<>();
  private long count;

  private ObjectCount() {}

  static long of(Object root) {
    ObjectCount counter = new ObjectCount();
    counter.reach(root);
    while (!counter.open.isEmpty()) {
      counter.visit(counter.open.pop());
    }
    return counter.count;
  }

  private static boolean own(Object what) {
    return what.getClass().getName().startsWith("pearusher.")
        && !(what instanceof Enum)
        && !(what instanceof PolicySettings)
        && !(what instanceof PolicyCommands);
  }

  private void reach(Object what) {
    boolean holds =
        what instanceof Collection
            || what instanceof Map
            || (what != null && (own(what) || what.getClass().isArray()));
    if (holds && seen.add(what)) {
      open.push(what);
    }
  }

  private void visit(Object what) {
    if (what instanceof Map<?, ?> map) {
      count += map.size();
      map.forEach(
          (key, value) -> {
            reach(key);
            reach(value);
          });
    } else if (what instanceof Collection<?> all) {
      count += all.size();
      all.forEach(this::reach);
    } else if (what.getClass().isArray()) {
      count += Array.getLength(what);
      for (int k = 0; what instanceof Object[] all && k < all.length; k++) {
        reach(all[k]);
      }
    } else {
      count++;
      fields(what);
    }
  }

  private void fields(Object what) {
    for (Class<?> type = what.getClass(); type != Object.class; type = type.getSuperclass()) {
      for (Field field : type.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
          reach(read(field, what));
        }
      }
    }
  }

  private static Object read(Field field, Object from) {
    try {
      field.setAccessible(true);
      return field.get(from);
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }
}
