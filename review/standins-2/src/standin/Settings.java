package standin;

import java.util.List;
import java.util.StringJoiner;

/** The figures of a deployment, and the configuration that the platform writes for an assigner. */
final class Settings {
  static final List<String> CLASSES = List.of("lecture-tournee", "saisie-livraison");

  int zones = 4;
  int proxies = 12;
  int assigners = 1;
  double channelRate = 2900;
  int fixedCost = 10;
  long transitUs = 235_000;
  long pushDelayMaxUs = 588_000;
  long drainGraceUs = 1_500_000;
  long emptyForUs = 3_100_000;
  long reportEveryUs = 2_000_000;
  long rampTimeUs = 17_000_000;

  /** Requests a second that come to each relay; 17 are 200 in all for 12 relays. */
  double requestsPerRelay = 17;

  boolean secondClassOwnZone;

  double mostWaiting() {
    return 1.5 * channelRate;
  }

  String zoneName(int zone) {
    return "site-" + zone;
  }

  /** Returns the configuration file of an assigner. */
  String configuration(String listen, String discovery, String seed, String known) {
    StringJoiner azs = new StringJoiner(",");
    for (int zone = 0; zone < zones; zone++) {
      azs.add('"' + zoneName(zone) + '"');
    }
    return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"" + seed + "\",\n"
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
        + "\"known\":" + known + ",\n"
        + "\"settings\":{\"azs\":[" + azs + "],\"kinds\":[\"m\"],\"zone\":0,\"myNumber\":0,"
        + "\"replicasOfMe\":" + assigners + ",\"tickUs\":5000,\"discovery\":\"on_request\",\"weightKind\":\"off\","
        + "\"countedBy\":\"request\",\"report\":{\"source\":\"off\",\"fields\":[]},\n"
        + "\"grades\":["
        + grade(CLASSES.get(0), "retryable", 1) + "," + grade(CLASSES.get(1), "fragile", 3) + "],\n"
        + "\"familyInfo\":{\"baseMode\":1,\"bootstrap\":5,\"channelRate\":" + channelRate
        + ",\"classOwnZone\":[false," + secondClassOwnZone + "],\"connsLeast\":120.0,"
        + "\"costPerLine\":0.02,\"ejects\":3,\"emptyForUs\":" + emptyForUs
        + ",\"fixedCost\":" + fixedCost + ".0,\"messagesMost\":0,\"messagesOverUs\":10000000,"
        + "\"mostWaiting\":" + mostWaiting() + ",\"perTry\":1.0,\"pick\":\"random\","
        + "\"proxyCount\":" + proxies + ",\"pushDelayMaxUs\":" + pushDelayMaxUs
        + ",\"reportEveryUs\":" + reportEveryUs + ",\"reportsPerS\":120.0,\"shards\":0,"
        + "\"throttleBy\":\"fraction\",\"transitUs\":" + transitUs
        + ",\"writeClasses\":[false,true],\"zonal\":false},\n"
        + "\"ceilings\":{\"connectTimeoutUs\":250000,\"cpuUsPerS\":250000,\"peers\":false,"
        + "\"probes\":false},\n"
        + "\"fees\":{\"crossZone\":0.08,\"lateFail\":0.08,\"probe\":0.02,\"waste\":0.05},\n"
        + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.15,\"drainGraceUs\":" + drainGraceUs
        + ",\"fallUs\":2000000,\"overloadFactor\":3.0,\"rampTimeUs\":" + rampTimeUs + "}}}\n";
  }

  private static String grade(String name, String repeat, int worth) {
    return "{\"name\":\"" + name + "\",\"promiseUs\":1000000,\"deadlineUs\":2500000,\"worth\":"
        + worth + ".0,\"lateWorth\":0.2,\"repeat\":\"" + repeat
        + "\",\"group\":\"all\",\"windowUs\":5000000}";
  }
}
