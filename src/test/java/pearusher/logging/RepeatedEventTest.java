package pearusher.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RepeatedEventTest {
  @Test
  void occurrencesAtPowersOfTwoAreLogged() {
    RepeatedEvent event = new RepeatedEvent();
    List<Long> logged = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      event.record(logged::add);
    }
    assertEquals(List.of(1L, 2L, 4L, 8L, 16L), logged);
    assertEquals(20, event.count());
  }
}
