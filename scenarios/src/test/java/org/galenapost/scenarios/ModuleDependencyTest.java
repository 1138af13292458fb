package org.galenapost.scenarios;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.galenapost", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleDependencyTest {

  @ArchTest
  static final ArchRule DAEMON_IMPORTS_ONLY_CORE =
      noClasses()
          .that()
          .resideInAPackage("org.galenapost.daemon..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.galenapost.cli..", "org.galenapost.standins..", "org.galenapost.scenarios..")
          .allowEmptyShould(true);

  @ArchTest
  static final ArchRule CLI_IMPORTS_ONLY_CORE =
      noClasses()
          .that()
          .resideInAPackage("org.galenapost.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.galenapost.daemon..", "org.galenapost.standins..", "org.galenapost.scenarios..")
          .allowEmptyShould(true);

  @ArchTest
  static final ArchRule STANDINS_IMPORT_NOTHING_OF_THE_SYSTEM =
      noClasses()
          .that()
          .resideInAPackage("org.galenapost.standins..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.galenapost.daemon..",
              "org.galenapost.cli..",
              "org.galenapost.core..",
              "org.galenapost.scenarios..")
          .allowEmptyShould(true);

  @ArchTest
  static final ArchRule ONLY_SCENARIOS_START_PROCESSES =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.galenapost.scenarios..")
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.ProcessBuilder")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Process");
}
