package pearusher;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
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
            com.tngtech.archunit.base.DescribedPredicate.describe(
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
            com.tngtech.archunit.base.DescribedPredicate.describe(
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
