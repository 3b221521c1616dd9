import { testScenarios } from "./scenarios.ts";

testScenarios("c", "c");
