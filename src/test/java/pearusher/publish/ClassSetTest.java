package pearusher.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClassSetTest {
  private static final ClassSet SECOND_AND_FOURTH = ClassSet.of(1).union(ClassSet.of(3));

  private static List<Integer> elements(ClassSet classes) {
    List<Integer> elements = new ArrayList<>();
    classes.forEach(elements::add);
    return elements;
  }

  @Test
  void elementsAreIteratedInAscendingOrder() {
    assertEquals(List.of(1, 3), elements(SECOND_AND_FOURTH));
    assertEquals(List.of(), elements(ClassSet.EMPTY));
    assertEquals(List.of(0, 31), elements(ClassSet.of(31).union(ClassSet.of(0))));
  }

  @Test
  void aSetContainsItsElementsOnly() {
    assertTrue(SECOND_AND_FOURTH.contains(3));
    assertFalse(SECOND_AND_FOURTH.contains(0));
    assertFalse(ClassSet.EMPTY.contains(1));
  }

  @Test
  void aDifferenceContainsOnlyElementsThatTheOtherSetDoesNot() {
    assertEquals(ClassSet.of(3), SECOND_AND_FOURTH.minus(ClassSet.of(1).union(ClassSet.of(2))));
    assertTrue(SECOND_AND_FOURTH.minus(SECOND_AND_FOURTH).isEmpty());
  }
}
