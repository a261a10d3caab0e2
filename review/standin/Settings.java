import java.util.List;
import java.util.stream.Collectors;

/** The settings object of a small deployment, with the names of the simulator's first message. */
final class Settings {
  private Settings() {}

  private static String strings(List<String> values) {
    return values.stream()
        .map(value -> "\"" + value + "\"")
        .collect(Collectors.joining(",", "[", "]"));
  }

  private static String grade(
      String name, int promiseMs, int deadlineMs, double worth, String repeat) {
    return String.format(
        "{\"name\":\"%s\",\"promiseUs\":%d000,\"deadlineUs\":%d000,\"worth\":%.1f,\"lateWorth\":0.2,"
            + "\"repeat\":\"%s\",\"group\":\"all\",\"windowUs\":5000000}",
        name, promiseMs, deadlineMs, worth, repeat);
  }

  /**
   * Returns the settings of repas-quimper at its first size.
   *
   * @param transitMs mean time of a message on the way; the longest is two and a half times it
   * @param ownZone whether lecture-tournee keeps to the proxy's zone
   */
  static String repas(List<String> zones, int proxies, int transitMs, boolean ownZone) {
    return "{\"azs\":"
        + strings(zones)
        + ",\"kinds\":[\"m\"],\"zone\":0,\"myNumber\":0,\"replicasOfMe\":1,\"tickUs\":5000,"
        + "\"discovery\":\"on_request\",\"weightKind\":\"rough\",\"countedBy\":\"request\","
        + "\"report\":{\"source\":\"on_probe\",\"fields\":[\"outstanding\"]},\"grades\":["
        + grade("lecture-tournee", 1000, 2500, 1, "retryable")
        + ","
        + grade("saisie-livraison", 1000, 2500, 3, "fragile")
        + "],\"familyInfo\":{\"baseMode\":1,\"bootstrap\":5,\"channelRate\":3500.0,"
        + "\"classOwnZone\":["
        + ownZone
        + ",false],\"connsLeast\":120.0,\"costPerLine\":0.02,\"ejects\":3,"
        + "\"emptyForUs\":3100000,\"fixedCost\":10.0,\"messagesMost\":0,\"messagesOverUs\":10000000,"
        + "\"mostWaiting\":5250.0,\"perTry\":1.0,\"pick\":\"random\",\"proxyCount\":"
        + proxies
        + ",\"pushDelayMaxUs\":"
        + transitMs * 5 / 2
        + "000,\"reportEveryUs\":2000000,\"reportsPerS\":120.0,\"shards\":0,"
        + "\"throttleBy\":\"fraction\",\"transitUs\":"
        + transitMs
        + "000,\"writeClasses\":[false,true],\"zonal\":true},"
        + "\"ceilings\":{\"connectTimeoutUs\":250000,\"cpuUsPerS\":600000,\"peers\":false,\"probes\":true},"
        + "\"fees\":{\"crossZone\":0.08,\"lateFail\":0.08,\"probe\":0.02,\"waste\":0.05},"
        + "\"goal\":{\"whole\":0.7,\"worstWindow\":0.2,\"worstClass\":0.1},"
        + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.15,\"drainGraceUs\":1500000,"
        + "\"fallUs\":2000000,\"overloadFactor\":3.0,\"rampTimeUs\":17000000}}";
  }
}
