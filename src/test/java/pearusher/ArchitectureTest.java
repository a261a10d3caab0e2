package pearusher;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The layers and package dependencies that docs/architecture.md draws. */
class ArchitectureTest {
  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("pearusher");

  private static final String[] DOMAIN = {
    "pearusher.policy..", "pearusher.recovery..", "pearusher.intake.."
  };
  private static final String[] INFRASTRUCTURE = {
    "pearusher.logging..",
    "pearusher.store..",
    "pearusher.sitesettings..",
    "pearusher.protocol..",
    "pearusher.config..",
    "pearusher.publish..",
    "pearusher.control..",
    "pearusher.transport..",
    "pearusher.discovery..",
    "pearusher.server..",
    "pearusher.simulator.."
  };
  private static final String[] INTERFACE = {"pearusher.cli..", "pearusher.operatorsettings.."};

  @Test
  void dependenciesPointFromInterfaceToInfrastructureToDomain() {
    layeredArchitecture()
        .consideringOnlyDependenciesInAnyPackage("pearusher..")
        .layer("interface")
        .definedBy(INTERFACE)
        .layer("infrastructure")
        .definedBy(INFRASTRUCTURE)
        .layer("domain")
        .definedBy(DOMAIN)
        .whereLayer("interface")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("infrastructure")
        .mayOnlyBeAccessedByLayers("interface")
        .ensureAllClassesAreContainedInArchitecture()
        .check(MAIN_CLASSES);
  }

  /** Bytes in memory are no I/O. */
  @Test
  void domainUsesNoInputOutputThreadsOrClocks() {
    noClasses()
        .that()
        .resideInAnyPackage(DOMAIN)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.nio.file..",
            "java.nio.channels..",
            "java.net..",
            "java.util.concurrent..",
            "org.eclipse..",
            "org.tinylog..")
        .check(MAIN_CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage(DOMAIN)
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.time.Clock.class)
        .check(MAIN_CLASSES);
  }

  /** Each line of the list is {@code package -> packages it uses}. */
  @Test
  void packageDependenciesAreThoseOfTheArchitecturePage() throws IOException {
    String page = Files.readString(Path.of("docs", "architecture.md"));
    Matcher line = Pattern.compile("(?m)^  (\\w+) +-> ?(.*)$").matcher(page);
    Map<String, Set<String>> drawn = new TreeMap<>();
    while (line.find()) {
      drawn.put(line.group(1), new TreeSet<>(Arrays.asList(line.group(2).split("[, ]+"))));
      drawn.get(line.group(1)).remove("");
    }
    assertEquals(drawn, actualDependencies());
  }

  private static Map<String, Set<String>> actualDependencies() {
    Map<String, Set<String>> dependencies = new TreeMap<>();
    for (JavaClass type : MAIN_CLASSES) {
      String from = packageName(type);
      Set<String> uses = dependencies.computeIfAbsent(from, name -> new TreeSet<>());
      type.getDirectDependenciesFromSelf().stream()
          .map(dependency -> dependency.getTargetClass().getBaseComponentType())
          .filter(target -> target.getPackageName().startsWith("pearusher."))
          .map(ArchitectureTest::packageName)
          .filter(name -> !name.equals(from))
          .forEach(uses::add);
    }
    return dependencies;
  }

  private static String packageName(JavaClass type) {
    return type.getPackageName().replaceFirst("^pearusher\\.", "");
  }

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching("pearusher.(*)..").should().beFreeOfCycles().check(MAIN_CLASSES);
  }

  @Test
  void storeAndIntakeKnowNoOtherPackage() {
    noClasses()
        .that()
        .resideInAnyPackage("pearusher.store..", "pearusher.intake..")
        .should()
        .dependOnClassesThat(
            DescribedPredicate.describe(
                "are of another package of the project",
                type ->
                    type.getPackageName().startsWith("pearusher.")
                        && !type.getPackageName().startsWith("pearusher.store")
                        && !type.getPackageName().startsWith("pearusher.intake")))
        .check(MAIN_CLASSES);
  }

  @Test
  void policyKnowsNoOtherPackage() {
    noClasses()
        .that()
        .resideInAPackage("pearusher.policy..")
        .should()
        .dependOnClassesThat(
            DescribedPredicate.describe(
                "are of another package of the project",
                type ->
                    type.getPackageName().startsWith("pearusher.")
                        && !type.getPackageName().startsWith("pearusher.policy")))
        .check(MAIN_CLASSES);
  }

  /** The wire's words are mapped in the codec; only sockets and the control package use it. */
  @Test
  void domainAndStoreDoNotKnowTheProtocol() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "pearusher.policy..",
            "pearusher.recovery..",
            "pearusher.intake..",
            "pearusher.logging..",
            "pearusher.store..",
            "pearusher.simulator..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("pearusher.protocol..")
        .check(MAIN_CLASSES);
  }
}
