package pearusher.publish;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.RequestClasses;
import pearusher.protocol.UpdatePart;

/** Creates the parts of updates. Its only state is the names of the request classes. */
final class UpdateParts {
  private final RequestClasses requestClasses;

  UpdateParts(RequestClasses requestClasses) {
    this.requestClasses = requestClasses;
  }

  /**
   * Returns a part that sets weights.
   *
   * @param replacesTable whether the weights replace the table, otherwise they change it
   * @param level the admission level of all the classes; empty if it is not sent
   */
  UpdatePart weights(
      ClassSet classes,
      boolean replacesTable,
      Map<String, Double> weights,
      Optional<AdmissionLevel> level) {
    return new UpdatePart(
        requestClasses.names(classes.bits()),
        replacesTable,
        weights,
        level,
        List.of(),
        List.of(),
        OptionalInt.empty());
  }

  /** Returns a part that sets only an admission level. */
  UpdatePart admission(ClassSet classes, AdmissionLevel level) {
    return weights(classes, false, Map.of(), Optional.of(level));
  }

  /** Returns a part without content, for all classes. */
  UpdatePart empty() {
    return new UpdatePart(
        Optional.empty(),
        false,
        Map.of(),
        Optional.empty(),
        List.of(),
        List.of(),
        OptionalInt.empty());
  }

  /** Returns a copy of a part with ejections, reinstatements and an acknowledgement request. */
  UpdatePart withEjections(
      UpdatePart part, List<String> ejected, List<String> reinstated, OptionalInt ackNumber) {
    return new UpdatePart(
        part.classes(),
        part.replacesTable(),
        part.weights(),
        part.admission(),
        ejected,
        reinstated,
        ackNumber);
  }

  static boolean requestsAck(UpdatePart part) {
    return part.ackNumber().isPresent();
  }
}
