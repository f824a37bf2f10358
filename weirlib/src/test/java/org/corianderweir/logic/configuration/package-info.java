/** Tests of the operators' configuration. */
package org.corianderweir.logic.configuration;
