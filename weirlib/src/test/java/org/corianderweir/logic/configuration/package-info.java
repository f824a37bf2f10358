/** Tests of the validation and the changes of the operators' configuration. */
package org.corianderweir.logic.configuration;
