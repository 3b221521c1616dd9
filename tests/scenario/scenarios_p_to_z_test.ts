import { testScenarios } from "./scenarios.ts";

testScenarios("p", "z");
