package pearusher.operatorsettings;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Suggestion of the known word that is most similar to an unknown word. */
final class SpellingHint {
  private SpellingHint() {}

  /**
   * Returns a suffix for an error message that names the most similar known word.
   *
   * @return an empty string if no known word is similar enough
   */
  static String hint(String word, List<String> knownWords) {
    return closest(word, knownWords).map(known -> "; did you mean '" + known + "'?").orElse("");
  }

  private static Optional<String> closest(String word, List<String> knownWords) {
    String lowerCase = word.toLowerCase(Locale.ROOT);
    String closest = null;
    int smallestDistance = 1 + Math.max(1, word.length() / 3);
    for (String known : knownWords) {
      int distance = distance(lowerCase, known, smallestDistance);
      if (distance < smallestDistance) {
        smallestDistance = distance;
        closest = known;
      }
    }
    return Optional.ofNullable(closest);
  }

  /** Returns the Levenshtein distance, or the limit if the lengths differ by at least the limit. */
  private static int distance(String first, String second, int limit) {
    if (Math.abs(first.length() - second.length()) >= limit) {
      return limit;
    }
    int[] row = new int[second.length() + 1];
    for (int j = 0; j <= second.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= first.length(); i++) {
      int diagonal = row[0]++;
      for (int j = 1; j <= second.length(); j++) {
        int above = row[j];
        int substitution = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(substitution, 1 + Math.min(above, row[j - 1]));
        diagonal = above;
      }
    }
    return row[second.length()];
  }
}
