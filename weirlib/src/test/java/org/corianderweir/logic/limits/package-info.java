/** Tests of the limits of a fleet, with a deterministic simulation of generated histories. */
package org.corianderweir.logic.limits;
